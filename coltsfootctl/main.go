// Command coltsfootctl is part of coltsfootusher.
package main

func main() {}
