package org.fescuehollow.hashing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;

/**
 * Highest-random-weight hashing: each key ranks all nodes, so adding or removing a node reassigns
 * only the keys for which it ranks first.
 *
 * <p>Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
 * Stateless and safe for use by any thread.
 */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Returns the 64-bit hash of a name.
     *
     * @param name the name
     * @return a hash that is the same in every process
     */
    public static long hash(String name) {
        return Hashing.komihash5_0().hashCharsToLong(name);
    }

    /**
     * Returns the 64-bit hash of bytes.
     *
     * @param bytes the bytes
     * @return a hash that is the same in every process
     */
    public static long hash(byte[] bytes) {
        return Hashing.komihash5_0().hashBytesToLong(bytes);
    }

    /**
     * Returns the weight of a pair of a key and a node.
     *
     * @param key the key's hash
     * @param node the node's hash
     * @return the weight, to be compared as unsigned
     */
    public static long weight(long key, long node) {
        long x = key ^ Long.rotateLeft(node, 32);
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    /**
     * Picks the node that ranks highest for a key.
     *
     * @param <T> the nodes' type
     * @param key the key
     * @param nodes the nodes
     * @param name returns a node's name
     * @return the node, or empty if there are none
     */
    public static <T> Optional<T> pick(String key, Collection<T> nodes, Function<T, String> name) {
        long k = hash(key);
        return nodes.stream()
                .max((a, b) -> Long.compareUnsigned(weightOf(k, a, name), weightOf(k, b, name)));
    }

    private static <T> long weightOf(long key, T node, Function<T, String> name) {
        return weight(key, hash(name.apply(node)));
    }
}
