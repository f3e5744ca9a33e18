// Command standin plays the cases of the review: it starts nodes with the command of the deploy
// file and is their platform, replicas and clients.
//
// Usage: standin CASE RECORD, in the repository's root.
package main

import (
	"fmt"
	"os"
)

func main() {
	const arguments = 3
	cases := map[string]func(recordFile string, trouble bool){
		"budget": playBudget,
		"resume": playResume,
		"upload": playUpload,
	}
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitCouldNot)
	}
	cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
}
