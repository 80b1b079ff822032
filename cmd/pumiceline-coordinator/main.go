// Command pumiceline-coordinator runs a machine's part in the control plane of the system: the agreed configuration,
// the list of backends and the placement of models.
package main

import (
	"pumiceline/internal/controlplane/coordinator"
	"pumiceline/internal/process"
)

func main() { process.Main("pumiceline-coordinator", coordinator.Run) }
