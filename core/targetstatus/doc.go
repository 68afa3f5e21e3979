// Package targetstatus keeps what targets state about themselves in their answers: a limit on the requests per second that they
// accept, and that they are leaving.
package targetstatus
