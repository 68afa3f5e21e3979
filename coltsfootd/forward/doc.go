// Package forward accepts requests at their origin, chooses a target for each and sends it there.
package forward
