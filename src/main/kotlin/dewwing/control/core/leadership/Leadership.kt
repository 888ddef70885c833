package dewwing.control.core.leadership

import dewwing.protocol.Instant
import dewwing.protocol.Span
import dewwing.protocol.Term

/** What a sibling last said of itself. */
data class SiblingWord(val at: Instant, val reachesState: Boolean, val highestTerm: Term)

/** What the leader may do at a moment. */
enum class Authority {
    /** Everything. */
    FULL,

    /** Renew leases of running work, and nothing new: the state service is down for everybody. */
    RENEW_ONLY,
    NONE,
}

/**
 * Whether this controller may still act as leader.
 *
 * While its hold runs it may. Past that it may only renew leases, as long as every sibling has said within
 * [wordAge] that it cannot reach the state service either and knows no higher term: nobody can be elected then.
 * The chain of words must not break: once it has, a sibling may have been elected and restarted unnoticed.
 * After a successor's election this authority therefore ends within [wordAge].
 */
class Leadership(private val ttl: Span, private val margin: Span, val wordAge: Span, private val siblings: Set<String>) {
    var term: Term = Term.NONE
        private set
    private var holdUntil: Instant = Instant.NEVER
    private var resigned = true

    /** The chain of sibling words has broken; only a renewal, which proves that the hold still ran, mends that. */
    private var broken = false
    private val words = HashMap<String, SiblingWord>()

    /** Highest term heard of from anywhere. */
    var highestTerm: Term = Term.NONE
        private set

    fun heardTerm(term: Term) {
        if (term > highestTerm) highestTerm = term
    }

    fun heard(sibling: String, word: SiblingWord) {
        words[sibling] = word
        heardTerm(word.highestTerm)
    }

    /** Elected, under a hold whose last renewal was sent at [holdSentAt]. */
    fun elected(term: Term, holdSentAt: Instant) {
        this.term = term
        heardTerm(term)
        resigned = false
        renewed(holdSentAt)
    }

    /** The renewal counts from when it was sent: the service may have done it at once. */
    fun renewed(sentAt: Instant) {
        val until = sentAt + Span(ttl.ms - margin.ms)
        if (until > holdUntil) holdUntil = until
        broken = false
    }

    fun resign() {
        resigned = true
        holdUntil = Instant.NEVER
    }

    fun authority(now: Instant, stateFailing: Boolean): Authority {
        if (resigned || highestTerm > term) return Authority.NONE
        if (now < holdUntil) return Authority.FULL
        if (broken) return Authority.NONE
        val outage = stateFailing && siblings.isNotEmpty() && siblings.all { name ->
            val word = words[name]
            word != null && !word.reachesState && now - word.at <= wordAge
        }
        if (outage) return Authority.RENEW_ONLY
        broken = true
        return Authority.NONE
    }
}
