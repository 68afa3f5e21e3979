// Command standin is part of coltsfootusher.
package main

func main() {}
