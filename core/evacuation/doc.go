// Package evacuation keeps the set of failure domains that operators have evacuated, in the order of the publisher's history.
package evacuation
