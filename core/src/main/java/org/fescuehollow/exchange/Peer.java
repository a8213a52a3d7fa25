package org.fescuehollow.exchange;

/**
 * Another entry node.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param name its name, unique in the deployment
 * @param domain its failure domain
 * @param ip its IP address
 */
public record Peer(String name, String domain, String ip) {
    // The generated methods are linked at first use and slow without the optimizing compiler.
    @Override
    public boolean equals(Object other) {
        return other instanceof Peer peer
                && name.equals(peer.name)
                && domain.equals(peer.domain)
                && ip.equals(peer.ip);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }
}
