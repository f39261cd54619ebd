package fleet

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an address that is returned twice: a process that got the same address for both of its
// listeners never became ready.
func TestFreeAddressesAreUnique(t *testing.T) {
	issued := map[string]bool{}
	for range 2000 {
		address, err := FreeAddress()
		require.NoError(t, err)
		require.False(t, issued[address], address)
		issued[address] = true
	}
}

func TestWaitListeningReportsLogOfFailedProgram(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "failing"), []byte("#!/bin/sh\necho no address\nexit 1\n"), 0o700))
	fl := &Fleet{Bin: dir, Dir: dir}
	pr, err := fl.Start("p", "failing")
	require.NoError(t, err)
	address, err := FreeAddress()
	require.NoError(t, err)
	err = pr.WaitListening(address)
	require.ErrorContains(t, err, "p (exited: true)")
	require.ErrorContains(t, err, "no address")
}

// Guards against an exited program that is reported as running: when both the timer and the exit are
// ready, select chooses between them at random.
func TestWaitReportsExitWithExpiredTimer(t *testing.T) {
	pr := &Process{done: make(chan struct{})}
	require.False(t, pr.Wait(0))
	close(pr.done)
	for range 10_000 {
		require.True(t, pr.Wait(0))
	}
}
