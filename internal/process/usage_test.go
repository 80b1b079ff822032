package process_test

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/bootstrap"
)

// usageTimeout is how long a program with wrong usage may take to end: less than the wait for the settings file.
const usageTimeout = 5 * time.Second

// wrongUsages are uses of a program that no waiting makes right, the exit code, and what the error names.
var wrongUsages = []struct {
	name      string
	arguments []string
	hasFile   bool // the environment names a settings file
	exitCode  int
	fault     string
}{
	{"unknown flag", []string{"--unknown"}, true, 2, "-unknown"},
	{"wrong value of a flag", []string{"--settings-wait=soon"}, true, 2, "settings-wait"},
	{"wrong log level", []string{"--log-level=loud"}, true, 1, "--log-level"},
	{"no settings file named", nil, false, 1, bootstrap.EnvironmentVariable},
}

// Wrong usage ends a program at once, with an error that names the fault.
func TestStart_EndsWithWrongUsage(t *testing.T) {
	for _, c := range wrongUsages {
		for _, program := range programs {
			t.Run(c.name+"/"+program, func(t *testing.T) {
				t.Parallel()
				m := newMachine(t)
				m.writeSettings(m.settings())
				ctx, cancel := context.WithTimeout(t.Context(), usageTimeout)
				defer cancel()
				command := exec.CommandContext(ctx, programPath(t, program), c.arguments...)
				command.Env = []string{"HOME=" + m.dir}
				if c.hasFile {
					command.Env = append(command.Env, bootstrap.EnvironmentVariable+"="+m.settingsPath())
				}
				log, err := os.Create(m.dir + "/log")
				require.NoError(t, err)
				defer log.Close()
				command.Stdout, command.Stderr = log, log
				require.Error(t, command.Run())
				require.NoError(t, ctx.Err(), "it has not ended by itself")
				assert.Equal(t, c.exitCode, command.ProcessState.ExitCode())
				text, err := os.ReadFile(log.Name())
				require.NoError(t, err)
				assert.Contains(t, string(text), c.fault)
			})
		}
	}
}
