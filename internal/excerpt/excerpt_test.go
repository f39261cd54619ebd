package excerpt

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLongTextsAreShortened(t *testing.T) {
	require.Equal(t, "short", Of("short"))
	require.Equal(t, strings.Repeat("x", MaxBytes), Of(strings.Repeat("x", MaxBytes)))
	require.Equal(t, strings.Repeat("x", MaxBytes)+"... (300000 bytes)", Of(strings.Repeat("x", 300_000)))
}

func TestOddBytesAreEscaped(t *testing.T) {
	require.Equal(t, `a\xff\n\"\u00e9`, Of("a\xff\n\"é"))
	require.LessOrEqual(t, len(Of(strings.Repeat("\xff", 1<<20))), 5*MaxBytes)
}
