package transport

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzRawURL(f *testing.F) {
	for _, seed := range []string{"//other/2f", "/a;b?c", "//a%2Fb", "/\xff", "//\"|<>"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if !strings.HasPrefix(target, "/") {
			return
		}
		path, query, hasQuery := strings.Cut(target, "?")
		if ur := RawURL("127.0.0.1:1", path, query, hasQuery); ur != nil {
			require.Equal(t, target, ur.RequestURI())
		}
	})
}
