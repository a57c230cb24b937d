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

	"balsamhill/pkg/connlimit"
)

const (
	// maxDescriptors bounds limits that mean "unlimited".
	maxDescriptors = 1 << 20
	// cgroupMemoryFile holds the memory limit of the process's control group (cgroups version 2).
	cgroupMemoryFile = "/sys/fs/cgroup/memory.max"
	memoryInfoFile   = "/proc/meminfo"
)

// Detect returns the capacity that the system grants. The error says what could not be read; that
// part is unknown.
func Detect() (connlimit.Capacity, error) {
	total, memoryErr := totalMemory()
	capacity := connlimit.Capacity{MemoryBytes: total}
	if limit, ok := cgroupMemory(); ok {
		capacity = capacity.Restrict(connlimit.Capacity{MemoryBytes: limit})
	}
	var files unix.Rlimit
	filesErr := unix.Getrlimit(unix.RLIMIT_NOFILE, &files)
	if filesErr == nil {
		capacity.Descriptors = int(min(files.Cur, maxDescriptors))
	}
	return capacity, errors.Join(memoryErr, eris.Wrap(filesErr, "read the limit on descriptors"))
}

// Usable returns what the process may use: what the system grants, as far as the settings allow it.
func Usable(allowed connlimit.Capacity, log *slog.Logger) connlimit.Capacity {
	granted, err := Detect()
	if err != nil {
		log.Info("limits of the machine are known in part only", "error", err)
	}
	return granted.Restrict(allowed).OrDefault()
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
