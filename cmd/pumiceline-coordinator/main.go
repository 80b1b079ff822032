// Command pumiceline-coordinator runs a machine's part in the control plane: the replicated configuration, the list of
// backends and, at the lease holder, the placement of models. It is configured by a settings file (package bootstrap).
package main

import (
	"pumiceline/internal/controlplane/coordinator"
	"pumiceline/internal/process"
)

func main() { process.Main("pumiceline-coordinator", coordinator.Run) }
