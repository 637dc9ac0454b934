// Command standins plays the cases of review/ that are scripts: it starts the deployed program
// between stand-ins of the platform's store, the engines and the requesters.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases maps the name of a case to its play, which reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecorder(os.Args[2])
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(115*time.Second, func() { check(fmt.Errorf("the play took too long")) })
	w := newWorld(rec)
	broken := cases[os.Args[1]](w, trouble)
	w.close()
	verdict := "the rule held"
	if broken {
		verdict = "the rule was broken"
	}
	rec.add("%s", verdict)
	fmt.Println(verdict)
	if broken {
		os.Exit(1)
	}
}
