package org.geraniumstand.decisions;

/** Mixes names into numbers that look random and are the same in every process. */
public final class Hash {
    private Hash() {}

    /**
     * Returns the hash of a text.
     *
     * @param text the text
     */
    public static long of(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(hash);
    }

    /**
     * Returns a hash that each bit of a number has an influence on.
     *
     * <p>Source: Steele and others, "Fast splittable pseudorandom number generators", 2014.
     *
     * @param number the number
     */
    public static long mix(long number) {
        long mixed = (number ^ (number >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    /**
     * Returns a number from 0 to below a bound.
     *
     * @param hash a hash
     * @param bound the bound, above zero
     */
    public static int below(long hash, int bound) {
        return (int) Long.remainderUnsigned(hash, bound);
    }
}
