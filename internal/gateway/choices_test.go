package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/choicelog"
)

func TestLogOfADepartureNamesTheLastChoiceOfTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga, log := newServingGateway()
		time.Sleep(2 * time.Second)
		ga.choices.Record("x1", choicelog.Choice{Request: "r7", At: time.Now(), StateAge: 2 * time.Second, Source: "b4"})
		time.Sleep(time.Second)
		log.Reset()
		draining := serverChange("x1", "dc1")
		draining.Server.Draining = true
		ga.applyWatch(State{Revision: rev(9), Changes: []Change{draining}}, time.Now(), time.Second, time.Now())
		require.Contains(t, log.String(), `"event":511,"server":"x1","detail":"s","source":"service","behind_ms":3000,`+
			`"request":"r7","chosen_ms_ago":1000,"state_age_ms":2000,"state_source":"b4"`)
		ga.applyWatch(State{Revision: rev(10), Changes: []Change{{Gone: "x1"}}}, time.Now(), time.Second, time.Now())
		require.Zero(t, ga.choices.Len(), "choices of servers that are gone are dropped")
	})
}

func TestRequestLogNamesTheStateOfEachChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log lockedLog
		sc := newTestClusterWith(t, 1, func(sc *testCluster) { sc.log = &log })
		sc.send(0, "/menu/a", "r1")
		sc.callers.Wait()
		require.Regexp(t, `"event":203,"request":"r1".*"before_state_age_ms":[\d.]+,"before_state_source":"service","state_age_ms":`, log.String())
		require.Regexp(t, `"event":204,"request":"r1".*"state_age_ms":[\d.]+,"state_source":"service"`, log.String())
	})
}
