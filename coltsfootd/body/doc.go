// Package body reads request bodies into memory, within a limit for the whole process.
package body
