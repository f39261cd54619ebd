package entry

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// claimConcurrently claims the same key for two requests of one entry, whose values are a and b,
// and delivers the owner's answers one after the other. It returns the result of each request by
// value.
func claimConcurrently(t *testing.T, answers ...wire.ClaimLine) map[string]wire.ClaimLine {
	got := map[string]wire.ClaimLine{}
	synctest.Test(t, func(t *testing.T) {
		en := &Entry{claimWaiters: map[string][]chan wire.ClaimLine{}}
		li := &link.Link{}
		results := make(chan [2]wire.ClaimLine, 2)
		for _, value := range []string{"a", "b"} {
			go func() {
				cl := wire.ClaimLine{Key: "k", Value: value, Durable: true}
				won, _ := en.requestClaimFrom(t.Context(), li, cl)
				results <- [2]wire.ClaimLine{cl, won}
			}()
		}
		synctest.Wait()
		for _, an := range answers {
			en.deliverClaims([]wire.ClaimLine{an})
			synctest.Wait()
		}
		for range 2 {
			re := <-results
			got[re[0].Value] = re[1]
		}
		require.Empty(t, en.claimWaiters)
	})
	return got
}

// Guards against two requests of one entry both taking the owner's answer on their common key as
// success.
func TestConcurrentClaimsOfOneKeyHaveOneWinner(t *testing.T) {
	got := claimConcurrently(t, wire.ClaimLine{Key: "k", Value: "a", Code: result.OK})
	require.Equal(t, result.OK, got["a"].Code)
	require.Equal(t, result.KeyAlreadyUsed, got["b"].Code, "the other request has the key")
	require.Equal(t, "a", got["b"].Value)
}

// Guards against an owner's refusal of one request failing another one that waits for the same key.
func TestClaimRefusalConcernsOneRequest(t *testing.T) {
	got := claimConcurrently(t,
		wire.ClaimLine{Key: "k", Value: "a", Code: result.ClaimsUnavailable},
		wire.ClaimLine{Key: "k", Value: "b", Code: result.OK})
	require.Equal(t, result.ClaimsUnavailable, got["a"].Code)
	require.Equal(t, result.OK, got["b"].Code)
}
