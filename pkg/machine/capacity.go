// Package machine reads how much memory and how many descriptors the process may use.
package machine

import (
	"bufio"
	"errors"
	"log/slog"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Capacity is what the process may use; 0 means unknown.
type Capacity struct {
	MemoryBytes int64
	Descriptors int
}

const (
	// defaultMemoryBytes and defaultDescriptors are assumed where the system does not tell.
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 1024
	// maxDescriptors bounds limits that mean "unlimited".
	maxDescriptors = 1 << 20
	// cgroupMemoryFile holds the memory limit of the process's control group (cgroups version 2).
	cgroupMemoryFile = "/sys/fs/cgroup/memory.max"
	memoryInfoFile   = "/proc/meminfo"
)

// Detect returns the capacity that the system grants. The error says what could not be read; that
// part is unknown.
func Detect() (Capacity, error) {
	total, memoryErr := totalMemory()
	capacity := Capacity{MemoryBytes: total}
	if limit, ok := cgroupMemory(); ok {
		capacity = capacity.Restrict(Capacity{MemoryBytes: limit})
	}
	var files unix.Rlimit
	filesErr := unix.Getrlimit(unix.RLIMIT_NOFILE, &files)
	if filesErr == nil {
		capacity.Descriptors = int(min(files.Cur, maxDescriptors))
	}
	return capacity, errors.Join(memoryErr, eris.Wrap(filesErr, "read the limit on descriptors"))
}

// OrDefault returns the capacity with defaults in place of what is unknown.
func (c Capacity) OrDefault() Capacity {
	if c.MemoryBytes == 0 {
		c.MemoryBytes = defaultMemoryBytes
	}
	if c.Descriptors == 0 {
		c.Descriptors = defaultDescriptors
	}
	return c
}

// Usable returns what the process may use: what the system grants, as far as the settings allow it.
func Usable(allowed Capacity, log *slog.Logger) Capacity {
	granted, err := Detect()
	if err != nil {
		log.Info("limits of the machine are known in part only", "error", err)
	}
	return granted.Restrict(allowed).OrDefault()
}

// Restrict returns the smaller capacity of both in each respect.
func (c Capacity) Restrict(other Capacity) Capacity {
	return Capacity{
		MemoryBytes: smallerKnown(c.MemoryBytes, other.MemoryBytes),
		Descriptors: smallerKnown(c.Descriptors, other.Descriptors),
	}
}

// smallerKnown returns the smaller of two values of which 0 means unknown.
func smallerKnown[T int | int64](a, b T) T {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// totalMemory returns the memory of the machine in bytes.
func totalMemory() (int64, error) {
	file, err := os.Open(memoryInfoFile)
	if err != nil {
		return 0, eris.Wrap(err, "read the memory of the machine")
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
		return kilobytes << 10, eris.Wrap(err, "parse the memory of the machine")
	}
	return 0, eris.Errorf("%s does not tell the memory of the machine", memoryInfoFile)
}

// cgroupMemory returns the memory limit of the control group, if there is one.
func cgroupMemory() (int64, bool) {
	text, err := os.ReadFile(cgroupMemoryFile)
	if err != nil {
		return 0, false
	}
	limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	return limit, err == nil && limit > 0
}
