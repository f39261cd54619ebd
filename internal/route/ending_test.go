package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

func TestRequestThatTheProcessEndsSaysWhatIsKnownOfIt(t *testing.T) {
	for name, tc := range map[string]struct {
		steps []string
		act   func(re *Request, rec *recorder)
		want  result.Code
		body  string
	}{
		"sent":     {[]string{"a"}, func(*Request, *recorder) {}, result.LinkLost, ""},
		"queued":   {[]string{"a"}, func(re *Request, rec *recorder) { rec.add(re.Verdict(1, result.Queued, 0, start)) }, result.LinkLost, ""},
		"admitted": {[]string{"a"}, func(re *Request, rec *recorder) { rec.add(re.Verdict(1, result.OK, 0, start)) }, result.LinkLost, ""},
		"answer has begun": {[]string{"a"}, func(re *Request, rec *recorder) {
			rec.add(re.Frame(1, head(), start))
			rec.add(re.Frame(1, data(2, "part"), start))
		}, result.AnswerBroken, "part"},
		"first answer is ready": {[]string{"a", "b"}, func(re *Request, rec *recorder) {
			rec.add(re.Frame(1, head(), start))
			rec.add(re.Frame(1, data(2, "poor"), start))
			rec.add(re.Frame(1, end(3, result.OK), start))
		}, result.OK, "poor"},
	} {
		t.Run(name, func(t *testing.T) {
			var rec recorder
			re := newRequest(false, tc.steps...)
			rec.add(re.Begin(start))
			tc.act(re, &rec)
			rec.add(re.ProcessEnds())
			rec.add(re.ProcessEnds())
			rec.add(re.Tick(start.Add(time.Hour)))
			require.Equal(t, []result.Code{tc.want}, rec.codes)
			require.Equal(t, tc.body, rec.body)
		})
	}
}
