package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/pkg/errors"
)

// minSecretLength is the minimum length of a token's secret in bytes.
const minSecretLength = 12

// Token authorises its author to use the admin API. Only a digest of the secret is
// kept.
type Token struct {
	Author string
	digest [sha256.Size]byte
}

// NewToken returns a token for the author with the given secret. It returns an error
// if the author is empty or the secret is shorter than minSecretLength.
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

// findAuthor returns the author of the token with the given secret, and whether there
// is one. The comparison takes constant time, so that timing reveals nothing about
// the secrets.
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
