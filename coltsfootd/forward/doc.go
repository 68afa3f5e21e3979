// Package forward accepts requests at the node where they originate, chooses a target for each and sends it there.
package forward
