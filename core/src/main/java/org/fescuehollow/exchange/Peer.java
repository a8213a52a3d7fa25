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
public record Peer(String name, String domain, String ip) {}
