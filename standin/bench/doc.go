// Package bench measures a fleet of real processes under an open-loop load with callers that retry hard, once with the
// policy on and once with the policy off, and compares the figures with the numeric targets of the design page.
package bench
