// Command stand runs the scripts of the review.
package main

import (
	"fmt"
	"os"
)

// scenarios by name. Each returns whether the rule held.
var scenarios = map[string]func(c *cluster, trouble bool) (held bool, err error){
	"votes":    votes,
	"trailing": trailing,
	"removed":  removed,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "stand SCENARIO RECORD")
		os.Exit(2)
	}
	c, err := newCluster(os.Args[2], "127.0.0.1:9")
	if err != nil {
		fail(err)
	}
	held, err := scenarios[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
	c.close()
	switch {
	case err != nil:
		fail(err)
	case !held:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
