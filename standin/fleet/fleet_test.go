package fleet

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Seen as a process that never listened: its two addresses were one.
func TestFreeAddressesAreUnique(t *testing.T) {
	given := map[string]bool{}
	for range 2000 {
		address, err := FreeAddress()
		require.NoError(t, err)
		require.False(t, given[address], address)
		given[address] = true
	}
}

func TestWaitListeningReportsLogOfFailedProgram(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "failing"), []byte("#!/bin/sh\necho no address\nexit 1\n"), 0o700))
	fl := &Fleet{Bin: folder, Dir: folder}
	pr, err := fl.Start("p", "failing")
	require.NoError(t, err)
	address, err := FreeAddress()
	require.NoError(t, err)
	err = pr.WaitListening(address)
	require.ErrorContains(t, err, "p, ended true")
	require.ErrorContains(t, err, "no address")
}

// Seen as a program that had ended and was reported as running: two channels that
// are both ready are chosen between at random.
func TestWaitReportsExitWithExpiredTimer(t *testing.T) {
	pr := &Process{done: make(chan struct{})}
	require.False(t, pr.Wait(0))
	close(pr.done)
	for range 10_000 {
		require.True(t, pr.Wait(0))
	}
}
