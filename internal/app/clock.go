package app

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns for how long the host has been suspended since it started: the time
// that its boot clock counts and its steady clock does not.
func suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		// Neither call fails on a kernel that runs Go; without them nothing is known.
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
