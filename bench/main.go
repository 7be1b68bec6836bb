// Command bench runs the decision benches in virtual time and compares each policy with its baseline.
package main

import "fmt"

func main() {
	fmt.Println("0 benches")
}
