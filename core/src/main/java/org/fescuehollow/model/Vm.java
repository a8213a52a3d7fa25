package org.fescuehollow.model;

import static org.fescuehollow.internal.Preconditions.requireInRange;
import static org.fescuehollow.internal.Preconditions.requireNonBlank;
import static org.fescuehollow.internal.Preconditions.requireNonNull;

/**
 * One VM as the platform's VM list shows it, late.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param id unique while the VM lives; a replacement has another one
 * @param role what it runs
 * @param service the service it belongs to; empty for entry VMs
 * @param domain its failure domain
 * @param host its IP number
 * @param port the TCP port of its service, or the peer port of an entry VM
 * @param state whether it stays
 */
public record Vm(
        String id,
        VmRole role,
        String service,
        String domain,
        String host,
        int port,
        VmState state) {
    private static final int HIGHEST_PORT = 65_535;

    /**
     * Creates the entry.
     *
     * @throws IllegalArgumentException if a member is missing or the port is out of range
     */
    public Vm {
        requireNonBlank("VM id", id);
        requireNonNull("VM role", role);
        requireNonNull("VM service", service);
        requireNonBlank("VM failure domain", domain);
        requireNonBlank("VM host", host);
        requireInRange("VM port", port, 0, HIGHEST_PORT);
        requireNonNull("VM state", state);
    }

    /**
     * Tells whether new work may go to this VM.
     *
     * @return true while it isn't leaving
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
