// Command gypsumlead is the daemon and the operators' tool.
package main

func main() {}
