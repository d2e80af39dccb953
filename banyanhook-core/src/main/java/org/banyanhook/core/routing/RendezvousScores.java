package org.banyanhook.core.routing;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/** Computes scores for rendezvous hashing. Names are hashed once, so that scoring a pair takes few operations. */
public final class RendezvousScores {

    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final HashFunction NAME_HASH = Hashing.farmHashFingerprint64();

    private RendezvousScores() {}

    /**
     * Hashes the name of a key or of a candidate.
     *
     * @param name the name
     * @return its hash, the same on every entry VM
     */
    public static long nameHash(String name) {
        return NAME_HASH.hashString(name, UTF_8).asLong();
    }

    /**
     * Scores a candidate for a key; the highest score wins.
     *
     * @param keyHash the {@link #nameHash} of the key
     * @param candidateHash the {@link #nameHash} of the candidate
     * @return the score
     */
    public static long score(long keyHash, long candidateHash) {
        long combined = keyHash ^ candidateHash;
        long mixed = (combined ^ (combined >>> 32)) * MULTIPLIER;
        return (mixed ^ (mixed >>> 29)) * MULTIPLIER;
    }
}
