package api

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
	"gypsumlead/settings"
)

// Guard lets in whoever has one of the settings' tokens; it implements oas.SecurityHandler.
type Guard struct {
	keys []key
}

// key is a token as it is compared: hashed, so that the time taken tells nothing of the secret.
type key struct {
	name string
	hash [sha256.Size]byte
}

// NewGuard returns a guard that knows the tokens; without any, nobody is let in.
func NewGuard(tokens []settings.Token) *Guard {
	g := &Guard{}
	for _, t := range tokens {
		g.keys = append(g.keys, key{t.Name, sha256.Sum256([]byte(t.Secret))})
	}
	return g
}

// HandleToken returns a context that knows the actor, or an error of kind fault.Unauthorized.
func (g *Guard) HandleToken(ctx context.Context, _ oas.OperationName, t oas.Token) (context.Context, error) {
	hash := sha256.Sum256([]byte(t.Token))
	for _, k := range g.keys {
		if subtle.ConstantTimeCompare(hash[:], k.hash[:]) == 1 {
			return context.WithValue(ctx, actorKey{}, k.name), nil
		}
	}
	return ctx, fault.New(fault.Unauthorized, "the token is none of the settings' tokens")
}

// actorKey is the context key of the name that goes into the audit trail.
type actorKey struct{}

func actor(ctx context.Context) string {
	name, _ := ctx.Value(actorKey{}).(string)
	return name
}
