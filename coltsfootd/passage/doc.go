// Package passage sends calls to the nodes of their targets: it chooses the target, retries lookups and checks answers.
package passage
