// Package sighup takes SIGHUP from the start of the process. Until a program asks for the
// signal, it ends the process; this package, which needs few others, is initialized before
// most of them.
package sighup

import (
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
)

var (
	signals = take()
	// used is true once a part of the program has asked for the signal.
	used atomic.Bool
)

func take() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel on which SIGHUP arrives. One that came since the start of the
// process is on it.
func Signals() <-chan os.Signal {
	if used.CompareAndSwap(false, true) {
		signal.Notify(signals, syscall.SIGHUP) // it may have been released
	}
	return signals
}

// Release makes SIGHUP end the process again, also if it has come already, unless a part of the
// program has asked for it. Commands that do not take the signal call it first.
func Release() error {
	if used.Load() {
		return nil
	}
	signal.Stop(signals)
	select {
	case <-signals:
		return syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
		return nil
	}
}
