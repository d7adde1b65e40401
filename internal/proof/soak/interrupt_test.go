package soak_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/proof/soak"
)

// endTime is the time within which an interrupted run has to end.
const endTime = 5 * time.Second

// Guards against a run that goes on after SIGTERM, or that leaves processes behind.
func TestAnInterruptedRunEndsInEachPhaseAndLeavesNoProcess(t *testing.T) {
	program := filepath.Join(t.TempDir(), "hickorynotch")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", program, "github.com/hickorynotch/hickorynotch/cmd/hickorynotch")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	for _, phase := range []struct {
		name string
		// duration is for how long faults are injected, and after the time after which the run is interrupted.
		duration, after time.Duration
	}{
		{"start", time.Second, 100 * time.Millisecond},
		{"faults", time.Minute, 2 * time.Second},
		{"recovery", time.Second, 3 * time.Second},
		{"last requests", 500 * time.Millisecond, 5 * time.Second},
	} {
		t.Run(phase.name, func(t *testing.T) {
			started := filepath.Join(t.TempDir(), "started")
			ctx, cancel := context.WithTimeout(t.Context(), phase.after)
			defer cancel()
			began := time.Now()
			err := soak.Run(ctx, soak.Settings{
				Command: []string{"sh", "-c", `echo $$ >> ` + started + `; exec ` + program + ` gateway -settings "$0"`},
				Seed:    1, Duration: phase.duration, Output: io.Discard, Logs: t.TempDir(),
			})
			if took := time.Since(began); took > phase.after+endTime {
				t.Errorf("ended after %v", took)
			}
			if err != nil && !errors.Is(err, soak.ErrInterrupted) {
				t.Error(err)
			}
			expectEnded(t, started)
		})
	}
}

// expectEnded checks that the processes whose IDs a file lists have ended.
func expectEnded(t *testing.T, path string) {
	t.Helper()
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		// The run was interrupted before it had started one.
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		id, err := strconv.Atoi(lines.Text())
		if err != nil {
			t.Fatal(err)
		}
		if err := syscall.Kill(id, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d has not ended: %v", id, err)
		}
	}
}
