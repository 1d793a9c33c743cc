package app

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the host booted, including the time for which it was
// suspended. Steps of the wall clock do not change it.
func bootTime() time.Duration {
	var boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// The call does not fail on a kernel that runs Go, unless it is filtered.
		return 0
	}
	return time.Duration(boot.Nano())
}

// suspended returns how long the host has been suspended since it booted: the
// difference between its boot-time clock, which counts suspended time, and its monotonic
// clock, which does not.
func suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		// Neither call fails on a kernel that runs Go. If one does, the suspended time is
		// unknown and counts as zero.
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
