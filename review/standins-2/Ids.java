import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** Job ids by shard, for the 12 shards of deploy/sharing.toml. Users choose the ids. */
final class Ids {
    static final int SHARDS = 12;
    /** The shards of job-000000, job-000001 and so on, as digits of base 12. */
    private static final String SHARD_OF =
        "3617310b821826a9b136b54a4b902671108154aaa4b908b64504274337546741225a5a22b879b2465a5aa9713744b131b7b972b08103a444a559790572aa4ab98ba5586935588309a364678a05a36086771b97235435030512583b9a87877219a692a861"
        + "3a17913a2b881b27982128544a317a2532b3a817b61b23929b0130a03189aaa5359285361101319876b0a7b66b3267b93a2629504279499704b871170aa57a41ba9093a271aa1b1914079b439562269554630a8187a0700219aaa50848810b0aa8aa3104"
        + "39402b26218a145a05a1114102b2454621a234283447944b319246630b139b4955500b8068b05669641040685b2ab361677b28aa8653bb4abb1b72438622334171775a490560050440741b2a2ba08b2518739b912a124a82142300b6182a93671870a657";

    static Map<Integer, ArrayDeque<String>> byShard() {
        Map<Integer, ArrayDeque<String>> ids = new HashMap<>();
        for (int i = 1; i < SHARD_OF.length(); i++) {
            ids.computeIfAbsent(Character.digit(SHARD_OF.charAt(i), SHARDS), k -> new ArrayDeque<>()).add(String.format("job-%06d", i));
        }
        return ids;
    }

    private Ids() {}
}
