package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

func TestWorkOfOtherGatewaysIsSummedUp(t *testing.T) {
	var ta Table
	require.False(t, ta.HasReports())
	require.Zero(t, ta.OnServer("s"))
	ta.PutMember("a", Work{KeyOf("s"): 3}, now)
	ta.PutGroup("b", Work{KeyOf("s"): 4, KeyOf("t"): 1}, now)
	require.True(t, ta.HasReports())
	require.EqualValues(t, 7, ta.OnServer("s"))
	own := Work{KeyOf("s"): 10}
	require.Equal(t, Work{KeyOf("s"): 13}, ta.GroupSum(own), "other groups are reported by their collectors")
	require.Equal(t, Work{KeyOf("s"): 14, KeyOf("t"): 1}, ta.SumExcept("a", own))
	require.Equal(t, Work{KeyOf("s"): 10}, own, "the argument is not modified")
}

func TestNewReportReplacesTheOldOne(t *testing.T) {
	var ta Table
	ta.PutMember("a", Work{KeyOf("s"): 3}, now)
	ta.PutMember("a", Work{KeyOf("t"): 1}, now)
	require.Zero(t, ta.OnServer("s"))
	require.EqualValues(t, 1, ta.OnServer("t"))
}

func TestOldReportsExpire(t *testing.T) {
	var ta Table
	ta.PutMember("a", Work{KeyOf("s"): 3}, now)
	ta.PutGroup("b", Work{KeyOf("s"): 4}, now.Add(time.Second))
	ta.Expire(now.Add(time.Second))
	require.EqualValues(t, 4, ta.OnServer("s"))
	ta.Expire(now.Add(2 * time.Second))
	require.False(t, ta.HasReports())
	require.Zero(t, ta.OnServer("s"))
}

func TestBusiest(t *testing.T) {
	wo := Work{1: 5, 2: 7, 3: 5, 4: 9}
	require.Equal(t, wo, wo.Busiest(4))
	require.Equal(t, Work{4: 9, 2: 7}, wo.Busiest(2))
	require.Equal(t, Work{4: 9, 2: 7}, wo.Busiest(3), "neither of the two servers with 5")
	require.Empty(t, Work{1: 5, 2: 5}.Busiest(1))
}

// naiveTable sums up all reports for each query.
type naiveTable struct{ members, groups map[string]report }

func (na naiveTable) sum(lists ...map[string]report) Work {
	sum := Work{}
	for _, list := range lists {
		for _, re := range list {
			for key, n := range re.work {
				sum[key] += n
			}
		}
	}
	return sum
}

func TestSumsEqualThoseOfTheNaiveTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var ta Table
		na := naiveTable{map[string]report{}, map[string]report{}}
		at := now
		for range rapid.IntRange(1, 40).Draw(rt, "reports") {
			at = at.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			box := fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "box"))
			wo := Work{}
			for range rapid.IntRange(0, 3).Draw(rt, "servers") {
				wo[Key(rapid.IntRange(0, 4).Draw(rt, "key"))] = uint32(rapid.IntRange(1, 100).Draw(rt, "work"))
			}
			switch rapid.IntRange(0, 2).Draw(rt, "operation") {
			case 0:
				ta.PutMember(box, wo, at)
				na.members[box] = report{work: wo, at: at}
			case 1:
				ta.PutGroup(box, wo, at)
				na.groups[box] = report{work: wo, at: at}
			default:
				before := at.Add(-500 * time.Millisecond)
				ta.Expire(before)
				expire(na.members, before)
				expire(na.groups, before)
			}
		}
		if got, want := ta.GroupSum(nil), na.sum(na.members); fmt.Sprint(got) != fmt.Sprint(want) {
			rt.Fatalf("group %v, naive %v", got, want)
		}
		if got, want := ta.SumExcept("none", nil), na.sum(na.members, na.groups); fmt.Sprint(got) != fmt.Sprint(want) {
			rt.Fatalf("rest %v, naive %v", got, want)
		}
	})
}

func expire(list map[string]report, before time.Time) {
	for box, re := range list {
		if re.at.Before(before) {
			delete(list, box)
		}
	}
}

func TestKeptGroupIsTheOnlyOne(t *testing.T) {
	now := time.Unix(1000, 0)
	var ta Table
	ta.PutGroup("a", Work{KeyOf("s"): 2}, now)
	ta.SetGroupSize("a", 26)
	ta.PutGroup("b", Work{KeyOf("s"): 3}, now)
	ta.SetGroupSize("b", 26)
	ta.KeepGroup("b")
	require.Equal(t, 26, ta.OtherGateways())
	require.Equal(t, uint32(3), ta.OnServer("s"))
}
