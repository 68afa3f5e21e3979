// Package strictjson decodes published JSON values and rejects unknown fields and trailing data.
package strictjson
