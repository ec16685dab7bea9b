package org.geraniumstand.standins.load;

/**
 * Defines the mix of requests of a deployment.
 *
 * @param orders fraction of orders without an idempotency key
 * @param keyedOrders fraction of orders with an idempotency key
 * @param nonStreamingCompletions fraction of completions without streaming; the remaining requests are streams
 * @param minTokens minimum number of tokens of a response
 * @param extraTokensBound exclusive upper bound of the tokens that a response has above the minimum
 * @param sharedPrefixSentences length of the prompt prefix that the requests of a shop share, in sentences
 */
public record Profile(
        double orders,
        double keyedOrders,
        double nonStreamingCompletions,
        int minTokens,
        int extraTokensBound,
        int sharedPrefixSentences) {
    /** The mix of Dunmore Sandcraft: long specifications as prompts, few orders. */
    public static final Profile DUNMORE = new Profile(0.05, 0.1, 0.15, 20, 60, 40);

    /** The mix of Cascadia Hearthguard Labs: short responses, many orders. */
    public static final Profile HEARTHGUARD = new Profile(0.1, 0.2, 0.2, 10, 40, 20);

    /**
     * Returns a profile by its name.
     *
     * @param name name of the profile: dunmore or hearthguard
     */
    public static Profile byName(String name) {
        return switch (name) {
            case "dunmore" -> DUNMORE;
            case "hearthguard" -> HEARTHGUARD;
            default -> throw new IllegalArgumentException(name + ": unknown profile; expected dunmore or hearthguard");
        };
    }
}
