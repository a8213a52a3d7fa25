package org.fescuehollow.gateway.exchange;

/**
 * The exchanges that each handle one kind of content of the messages between nodes.
 *
 * <p>Immutable.
 *
 * @param suspicions the evidence for traits of requests that crash engines
 * @param rates the rates of requests that engines take
 * @param leases the leases on engines
 * @param origins the software versions at which streams began
 * @param engineReads which entries of engines nodes read
 */
record TopicExchanges(
        SuspicionExchange suspicions,
        RateExchange rates,
        LeaseExchange leases,
        StreamOriginExchange origins,
        EngineReadExchange engineReads) {}
