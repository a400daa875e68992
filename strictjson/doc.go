// Package strictjson decodes JSON that people write by hand.
//
// By default encoding/json ignores unknown fields and accepts duplicate ones, and
// its errors lack the value of the invalid field. Unmarshal rejects unknown and
// duplicate fields, and its errors contain the JSON path and the value of the first
// invalid field.
package strictjson
