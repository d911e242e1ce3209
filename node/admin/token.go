package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/pkg/errors"
)

// minSecretLength is the least number of characters of a token's secret.
const minSecretLength = 12

// Token lets its author use the admin API.
type Token struct {
	Author string
	digest [sha256.Size]byte
}

// NewToken returns the token of author with the given secret.
func NewToken(author, secret string) (Token, error) {
	if author == "" {
		return Token{}, errors.New("a token needs an author")
	}
	if len(secret) < minSecretLength {
		return Token{}, errors.Errorf("the token of author %q has %d characters, want at least %d",
			author, len(secret), minSecretLength)
	}
	return Token{Author: author, digest: sha256.Sum256([]byte(secret))}, nil
}

// ParseToken parses a token of the form "author:secret".
func ParseToken(text string) (Token, error) {
	author, secret, ok := strings.Cut(text, ":")
	if !ok {
		return Token{}, errors.New("a token is not of the form \"author:secret\"")
	}
	return NewToken(author, secret)
}

// findAuthor returns the author of the token with the given secret. Its running
// time does not depend on the secret.
func findAuthor(tokens []Token, secret string) (string, bool) {
	digest := sha256.Sum256([]byte(secret))
	match := -1
	for i := range tokens {
		equal := subtle.ConstantTimeCompare(tokens[i].digest[:], digest[:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return "", false
	}
	return tokens[match].Author, true
}
