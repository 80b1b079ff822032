package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// Scripts of operators call the program with these names, so every command and flag of any earlier version must still
// parse.
func TestCLI_KeepsCommandsAndFlags(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file.toml")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ command, args string }{
		{"singleton member", "--fleet F --level WARN --id 1 --dir D --listen 127.0.0.1:1"},
		{"singleton run", "--fleet F --level WARN --name a --zone z --build 3 --mirror 127.0.0.1:1 --history F --clock-rate 1.01"},
		{"singleton status", "--fleet F --level WARN --json"},
		{"singleton release", "--fleet F --level WARN role"},
		{"singleton move", "--fleet F --level WARN role instance"},
		{"singleton receive", "--listen 127.0.0.1:1 --file F --unfenced"},
		{"serve", "--config F --door F --level DEBUG"},
		{"serve", "--config F --admission F --level DEBUG"},
		{"check", "--config F"},
		{"version", ""},
		{"try", "--for 5s --rate 10 --nodes 3 --level INFO"},
		{"faulttest discovery-cache", "--members 3 --instances 4 --lease 1s --calm 2s --proxies 2"},
		{"faulttest cluster", "--seed 2 --members 3 --instances 4 --works 2 --lease 1s --length 5s --unfenced --out F"},
		{"faulttest run", "F --seed 2 --out F"},
		{"stage roster", "--members 3 --instances 4 --lease 1s --calm 2s --proxies 2"},
		{"stage owners", "--seed 2 --members 3 --instances 4 --works 2 --lease 1s --length 5s --unfenced --out F"},
		{"stage run", "F --seed 2 --out F"},
		{"owner member", "--fleet F --level WARN --id 1 --dir D --listen 127.0.0.1:1"},
		{"owner run", "--fleet F --level WARN --name a --zone z --build 3 --mirror 127.0.0.1:1 --history F --clock-rate 1.01"},
		{"owner status", "--fleet F --level WARN --json"},
		{"owner release", "--fleet F --level WARN work"},
		{"owner move", "--fleet F --level WARN work instance"},
		{"owner receive", "--listen 127.0.0.1:1 --file F --unfenced"},
		{"fleetsim check", "F"},
		{"fleetsim run", "F --out F --jobs 2 --set world.servers=50 --seeds 2 --plots D --keep"},
		{"fleetsim sweep", "F --out F --jobs 2 --set world.servers=50 --seeds 2 --plots D --keep --measures good"},
		{"fleetsim compare", "F --out F --jobs 2 --set world.servers=50 --seeds 2 --plots D --keep --measures good"},
		{"fleetsim plot", "F --dir D --measures good"},
		{"fleetsim replay", "F --policy none --seed 2 --set world.servers=50 --line 3 --trace F --of 4"},
		{"lab check", "F"},
		{"lab run", "F --out F --jobs 2 --set world.servers=50 --seeds 2 --plots D --keep"},
		{"lab sweep", "F --out F --jobs 2 --set world.servers=50 --seeds 2 --plots D --keep --measures good"},
		{"lab compare", "F --out F --jobs 2 --set world.servers=50 --seeds 2 --plots D --keep --measures good"},
		{"lab plot", "F --dir D --measures good"},
		{"lab replay", "F --policy none --seed 2 --set world.servers=50 --line 3 --trace F --of 4"},
	} {
		t.Run(c.command, func(t *testing.T) {
			parser, err := kong.New(&cli{}, kong.Name("pumiceline"))
			if err != nil {
				t.Fatal(err)
			}
			args := strings.Fields(c.command + " " + c.args)
			for i, arg := range args {
				switch arg {
				case "F":
					args[i] = file
				case "D":
					args[i] = dir
				}
			}
			parsed, err := parser.Parse(args)
			if err != nil {
				t.Fatal(err)
			}
			want := currentName(c.command)
			if got := parsed.Command(); got != want && !strings.HasPrefix(got, want+" <") {
				t.Errorf("parsed as command %q, not %q", got, want)
			}
		})
	}
}

// currentName returns the current name of a command, which may be given by an earlier name.
func currentName(command string) string {
	for _, renamed := range []struct{ from, to string }{
		{"lab ", "fleetsim "},
		{"owner ", "singleton "},
		{"stage owners", "faulttest cluster"},
		{"stage roster", "faulttest discovery-cache"},
		{"stage ", "faulttest "},
	} {
		if rest, found := strings.CutPrefix(command, renamed.from); found {
			return renamed.to + rest
		}
	}
	return command
}

// --door is the earlier name of --admission: both set the file of admission control.
func TestServeCmd_AdmissionFileHasTwoNames(t *testing.T) {
	file := filepath.Join(t.TempDir(), "door.toml")
	for _, flag := range []string{"--admission", "--door"} {
		t.Run(flag, func(t *testing.T) {
			var args cli
			parser, err := kong.New(&args, kong.Name("pumiceline"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := parser.Parse([]string{"serve", flag, file}); err != nil {
				t.Fatal(err)
			}
			if args.Serve.AdmissionFile != file {
				t.Errorf("the file is %q, want %q", args.Serve.AdmissionFile, file)
			}
		})
	}
}
