// Package contact tells whether the other end of a connection has answered lately, so that a request whose outcome
// would stay unknown without an answer isn't sent to an end that is silent.
package contact
