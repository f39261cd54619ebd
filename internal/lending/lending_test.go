package lending

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1000, 0)

// tree is a number of gateways, of which each but the first reports to another one. Its messages may be
// delayed or lost.
type tree struct {
	books []*Book
	// lender is the index of the gateway that each reports to, needs what each needs.
	lender []int
	needs  []float64
	flying []message
}

// message is an offer, or the reply to one, that arrives at a time.
type message struct {
	from, to   int
	at, sent   time.Time
	offer      *Offer
	reply      *Reply
	replyDelay time.Duration
	replyLost  bool
}

func newTree(lender []int) *tree {
	tr := &tree{lender: lender, needs: make([]float64, len(lender))}
	for i := range lender {
		tr.books = append(tr.books, &Book{Process: uint64(i + 1), Started: t0.Add(-time.Hour)})
	}
	return tr
}

func name(i int) string { return fmt.Sprint("g", i) }

// send sends an offer of a gateway.
func (tr *tree) send(i int, delay, replyDelay time.Duration, lost, replyLost bool, now time.Time) {
	if tr.lender[i] < 0 {
		return
	}
	of := tr.books[i].Offer(name(tr.lender[i]), tr.needs[i], now)
	if !lost {
		tr.flying = append(tr.flying, message{from: i, to: tr.lender[i], at: now.Add(delay), sent: now, offer: &of, replyDelay: replyDelay, replyLost: replyLost})
	}
}

// deliver delivers the messages that have arrived.
func (tr *tree) deliver(now time.Time) {
	var rest []message
	due := tr.flying
	tr.flying = nil
	for _, me := range due {
		switch {
		case me.at.After(now):
			rest = append(rest, me)
		case me.offer != nil:
			re := tr.books[me.to].HandleOffer(name(me.from), *me.offer, tr.needs[me.to], tr.lender[me.to] < 0, now)
			if !me.replyLost {
				rest = append(rest, message{from: me.to, to: me.from, at: now.Add(me.replyDelay), sent: me.sent, reply: &re})
			}
		default:
			tr.books[me.to].HandleReply(name(me.from), *me.reply, me.sent, now)
		}
	}
	tr.flying = append(tr.flying, rest...)
}

func (tr *tree) total(now time.Time) float64 {
	units := 0.0
	for _, bo := range tr.books {
		units += bo.Units(now)
	}
	return units
}

// shapes are trees of members, collectors and a root.
var shapes = [][]int{
	{-1, 0, 0, 0},
	{-1, 0, 1, 1, 0, 4, 4, 0},
	{-1, 0, 1, 1, 1, 1, 0, 6, 6, 6, 6, 0, 11, 11, 11, 11, 0, 16, 16, 16, 16, 0, 21},
}

// Whatever is lost or delayed and however demand changes, gateways hold no more units than there are.
func TestUnitsNeverExceedTheNumberOfGateways(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr := newTree(rapid.SampledFrom(shapes).Draw(rt, "shape"))
		now := t0
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 250).Draw(rt, "ms")) * time.Millisecond)
			tr.deliver(now)
			if rapid.IntRange(0, 9).Draw(rt, "shift") == 0 {
				for i := range tr.needs {
					tr.needs[i] = 0
				}
				tr.needs[rapid.IntRange(0, len(tr.needs)-1).Draw(rt, "hot")] = float64(len(tr.needs))
			}
			for i := range tr.books {
				delay := func(label string) time.Duration {
					return time.Duration(rapid.SampledFrom([]int{0, 1, 50, 400, 3000}).Draw(rt, label)) * time.Millisecond
				}
				tr.send(i, delay("delay"), delay("reply delay"), rapid.IntRange(0, 3).Draw(rt, "lost") == 0, rapid.IntRange(0, 3).Draw(rt, "reply lost") == 0, now)
			}
			require.LessOrEqual(rt, tr.total(now), float64(len(tr.books))+1e-9)
			for i, bo := range tr.books {
				require.GreaterOrEqual(rt, bo.Units(now), MinUnits-1e-9, i)
			}
		}
	})
}

// run exchanges offers every 100 ms with delays of 10 ms.
func (tr *tree) run(lasts time.Duration, now time.Time) time.Time {
	for end := now.Add(lasts); now.Before(end); now = now.Add(5 * time.Millisecond) {
		tr.deliver(now)
		if now.Sub(t0)%(100*time.Millisecond) == 0 {
			for i := range tr.books {
				tr.send(i, 10*time.Millisecond, 10*time.Millisecond, false, false, now)
			}
		}
	}
	return now
}

// Units follow demand within a second or so, wherever in the tree it is, and return.
func TestUnitsFollowDemand(t *testing.T) {
	for _, shape := range shapes {
		for hot := range shape {
			tr := newTree(shape)
			now := tr.run(time.Second, t0)
			for i := range tr.needs {
				tr.needs[i] = 0
			}
			tr.needs[hot] = float64(len(shape))
			now = tr.run(1500*time.Millisecond, now)
			require.Greater(t, tr.books[hot].Units(now), 0.75*float64(len(shape)), "gateway %d of %v", hot, shape)
			next := (hot + 1) % len(shape)
			tr.needs[hot], tr.needs[next] = 0, float64(len(shape))
			now = tr.run(3*time.Second, now)
			require.Greater(t, tr.books[next].Units(now), 0.75*float64(len(shape)), "gateway %d of %v", next, shape)
			for i := range tr.needs {
				tr.needs[i] = 1
			}
			now = tr.run(4*time.Second, now)
			for i, bo := range tr.books {
				require.InDelta(t, 1, bo.Units(now), 0.1, "gateway %d of %v", i, shape)
			}
		}
	}
}

// A gateway that hears nothing any more has its own unit back when its loans are over.
func TestLoansEndWithoutContact(t *testing.T) {
	tr := newTree(shapes[0])
	tr.needs = []float64{4, 0, 0, 0}
	now := tr.run(2*time.Second, t0)
	require.Greater(t, tr.books[0].Units(now), 3.0)
	later := now.Add(memberTerm)
	for _, bo := range tr.books {
		require.InDelta(t, 1, bo.Units(later), 1e-9)
	}
}

// Offers with arbitrary content have bounded effect.
func TestMalformedOffersAreIgnored(t *testing.T) {
	bo := &Book{Process: 1, Started: t0}
	for _, of := range []Offer{
		{Lent: -1, Term: time.Second, Stamp: Stamp{Process: 1}},
		{Lent: 1e9, Term: time.Second, Stamp: Stamp{Process: 1}},
		{Lent: 1, Term: time.Hour, Stamp: Stamp{Process: 1}},
		{Lent: 1, Term: time.Second, Stamp: Stamp{Process: 2}},
		{Wish: -1},
		{Wish: 1e9},
	} {
		bo.HandleOffer("b", of, 1, true, t0)
		require.InDelta(t, 1, bo.Units(t0), 1e-9, "%+v", of)
	}
}
