package org.fescuehollow.model;

import static org.fescuehollow.internal.Preconditions.requireInRange;
import static org.fescuehollow.internal.Preconditions.requireNonBlank;
import static org.fescuehollow.internal.Preconditions.requireNonNull;

/**
 * One VM as listed by the platform; the list lags behind the actual state.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param id unique among existing VMs; a replacement gets a new id
 * @param role the role of its process
 * @param service the service it belongs to; empty for entry VMs
 * @param domain its failure domain
 * @param host its IP address
 * @param port the TCP port of its service, or the peer port of an entry VM
 * @param state whether it accepts new work
 */
public record Vm(
        String id,
        VmRole role,
        String service,
        String domain,
        String host,
        int port,
        VmState state) {
    private static final int MAX_PORT = 65_535;

    /**
     * Creates the entry.
     *
     * @throws IllegalArgumentException if a component is missing or the port is out of range
     */
    public Vm {
        requireNonBlank("VM id", id);
        requireNonNull("VM role", role);
        requireNonNull("VM service", service);
        requireNonBlank("VM failure domain", domain);
        requireNonBlank("VM host", host);
        requireInRange("VM port", port, 0, MAX_PORT);
        requireNonNull("VM state", state);
    }

    /**
     * Returns whether new work may be sent to this VM.
     *
     * @return true unless the VM is leaving
     */
    public boolean isLive() {
        return state == VmState.LIVE;
    }

    /**
     * Returns host and port.
     *
     * @return the form {@code host:port}
     */
    public String address() {
        return host + ":" + port;
    }
}
