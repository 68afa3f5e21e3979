// Command coltsfootd is part of coltsfootusher.
package main

func main() {}
