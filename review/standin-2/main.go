// Command standin2 plays the cases of the second review: it starts the project's programs as processes, stands in for
// clients, endpoints and the platform, and judges what these saw.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*scene){"upgrade": upgradeDuringOutage, "replaced": replacedAtItsAddress, "memory": manyLongBodies, "chunked": chunkedAnswers, "leave": clientsLeave, "unread": heldUnread, "files": drainBesideSpoiltFile}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE")
		os.Exit(exitUnable)
	}
	cases[os.Args[1]](newScene())
}
