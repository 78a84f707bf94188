package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/wire"
	"gypsumlead/fault"
)

const beatTimeout = 2 * time.Second

// Beat is p's Heartbeat as an instance of the same process calls it.
func (p *Platform) Beat(_ context.Context, i backing.Instance) (backing.Instance, error) {
	return p.Heartbeat(i), nil
}

// BeatOver returns a Beat to the stand-in of the platform at addr.
func BeatOver(addr netip.AddrPort) Beat {
	h := &http.Client{Timeout: beatTimeout, Transport: &http.Transport{}}
	url := "http://" + addr.String() + PathHeartbeat
	return func(ctx context.Context, i backing.Instance) (backing.Instance, error) {
		body, err := json.Marshal(i)
		if err != nil {
			return i, fault.Wrap(fault.Internal, err, "encode a heartbeat of %s", i.ID)
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return i, fault.Wrap(fault.Internal, err, "make a heartbeat of %s", i.ID)
		}
		res, err := h.Do(req)
		if err != nil {
			return i, fault.Wrap(fault.StoreDown, err, "send a heartbeat of %s", i.ID)
		}
		defer res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return i, fault.New(fault.StoreDown, "a heartbeat of %s was answered with status %d", i.ID, res.StatusCode)
		}
		var row backing.Instance
		if err := wire.Decode(res.Body, &row); err != nil {
			return i, err
		}
		return row, nil
	}
}
