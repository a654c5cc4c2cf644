package calls

import (
	"encoding/base64"
	"encoding/json"
	"strings"

	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/secret"
	"lavenderdeal/io/caller"
	"lavenderdeal/schema/messages"
)

// signChain encodes and signs a chain for the header [caller.HeaderChain], by which
// nodes recognize nested calls.
func signChain(key secret.Key, chain messages.Chain) string {
	text, err := json.Marshal(chain)
	if err != nil {
		return ""
	}
	encoded := base64.RawURLEncoding.EncodeToString(text)
	return encoded + "." + key.Sign("chain", encoded)
}

// verifyChain verifies and decodes a chain that signChain returned. The error
// carries a verdict.
func verifyChain(key secret.Key, text string) (messages.Chain, error) {
	var chain messages.Chain
	encoded, proof, _ := strings.Cut(text, ".")
	if !key.Verify(proof, "chain", encoded) {
		return chain, verdict.Refuse("chainRefused", caller.HeaderChain+" was not given by a node of this fleet")
	}
	data, err := base64.RawURLEncoding.DecodeString(encoded)
	if err == nil {
		err = json.Unmarshal(data, &chain)
	}
	if err != nil {
		return chain, verdict.Refuse("chainRefused", err.Error())
	}
	return chain, nil
}
