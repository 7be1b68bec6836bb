// Command demo starts the programs and stand-ins and runs one training step with live traffic beside it.
package main

func main() {}
