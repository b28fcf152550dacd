#include "forward/TargetChooser.h"

#include "forward/StreamBinding.h"

#include <algorithm>
#include <functional>

namespace dragonfly::forward {

using directory::TargetPointer;
using routing::Candidate;
using routing::Reach;

namespace {

    /// For this time after their replacement, answers by replaced weights lose no value.
    constexpr std::chrono::milliseconds staleWeightsGracePeriod { 1500 };
    /// After that, an answer by replaced weights is worth a fifth less, which equals about this delay.
    constexpr std::chrono::milliseconds initialStaleSurcharge { 250 };
    /// The loss of value grows with the time since the replacement; a tenth of that time approximates it.
    constexpr int staleSurchargeDivisor = 10;

    uint32_t shortTargetId(const directory::Target& target)
    {
        return routing::shortHash(fastHash(target.registration.id));
    }

    uint32_t shortIncarnation(const directory::Target& target)
    {
        const auto& registration = target.registration;
        return routing::shortHash(
            fastHash(registration.endpoint.toString(), static_cast<uint64_t>(registration.startedUnixMs)));
    }

    Reach reachOf(const ChoiceQuery& query, const std::string& dataCentre)
    {
        if (dataCentre == query.place.dataCentre)
            return Reach::SameDataCentre;
        const auto region = query.regions.find(dataCentre);
        const bool sameRegion = region != query.regions.end() && region->second == query.place.region;
        return sameRegion ? Reach::SameRegion : Reach::OtherRegion;
    }

    /// The hashes of a prompt's prefixes for one version of the weights.
    struct PromptPrefixes {
        uint64_t version = 0;
        std::string salt;
        std::vector<uint64_t> hashes; ///< shortest prefix first
        std::vector<uint32_t> tokens; ///< length of each prefix
        /// The number of prefixes that other prompts may share: all but the complete prompt.
        size_t sharedPrefixCount() const
        {
            return this->hashes.empty() ? 0 : this->hashes.size() - 1;
        }
        uint32_t sharedTokens() const
        {
            return this->sharedPrefixCount() ? this->tokens[this->sharedPrefixCount() - 1] : 0;
        }
    };

    PromptPrefixes prefixesOf(const ChoiceQuery& query, uint64_t version)
    {
        PromptPrefixes prefixes;
        prefixes.version = version;
        // Of the configuration in force now, because an attempt may be much later than the request.
        const auto scope = query.directory.routes()->cacheScopeOf(query.organisation);
        const auto weights = std::to_string(version);
        prefixes.salt = routing::cacheSalt(scope, query.metadata.model, weights);
        uint64_t hash = routing::scopeSeed(scope, query.metadata.model, weights);
        uint32_t tokens = 0;
        for (const auto& part : query.metadata.prompt) {
            hash = fastHash(part.id, hash);
            tokens += part.tokens;
            prefixes.hashes.push_back(hash);
            prefixes.tokens.push_back(tokens);
        }
        return prefixes;
    }

    struct CandidateSet {
        std::vector<TargetPointer> targets; ///< in the order of the candidates
        std::vector<Candidate> candidates;
        /// For each candidate, whether it takes no request now. It may still hold the prefix of the prompt.
        std::vector<bool> isWithheld;
        std::vector<size_t> versionIndexes; ///< for each candidate, an index into prefixesByVersion
        std::vector<PromptPrefixes> prefixesByVersion;
    };

    size_t indexOfVersion(CandidateSet& set, const ChoiceQuery& query, uint64_t version)
    {
        for (size_t i = 0; i < set.prefixesByVersion.size(); ++i) {
            if (set.prefixesByVersion[i].version == version)
                return i;
        }
        set.prefixesByVersion.push_back(prefixesOf(query, version));
        return set.prefixesByVersion.size() - 1;
    }

    /// Seed of the rendezvous ranks: a hash of the shared prefix without the weights version, so that the preferred
    /// target stays the same when weights are replaced. Random for prompts without a shared prefix.
    uint64_t rankSeed(const ChoiceQuery& query)
    {
        const auto& prompt = query.metadata.prompt;
        if (prompt.size() < 2)
            return query.random;
        uint64_t hash = 0;
        for (size_t i = 0; i + 1 < prompt.size(); ++i)
            hash = fastHash(prompt[i].id, hash);
        return hash;
    }

    uint64_t rankOf(uint64_t seed, uint32_t targetId)
    {
        const uint64_t pair[] = { seed, targetId };
        return fastHash({ reinterpret_cast<const char*>(pair), sizeof(pair) });
    }

    Candidate candidateOf(const ChoiceQuery& query, const directory::Target& target, uint64_t seed)
    {
        const auto& state = *target.state;
        Candidate candidate;
        candidate.reach = reachOf(query, target.registration.dataCentre);
        candidate.avoided = routing::timeOf(state.avoidUntil) > query.now;
        candidate.inFlight = state.inFlight.load(std::memory_order_relaxed);
        candidate.delay = routing::expectedDelay(state, query.now);
        candidate.queuedTokens = routing::queuedTokens(state, query.now);
        candidate.nanosecondsPerToken = state.nanosecondsPerToken.load(std::memory_order_relaxed);
        candidate.rank = rankOf(seed, shortTargetId(target));
        candidate.leadingRank = candidate.rank;
        return candidate;
    }

    /// The loss of value of an answer by replaced weights, expressed as a delay. Grows with the time since the
    /// replacement.
    std::chrono::nanoseconds staleWeightsSurcharge(const ChoiceQuery& query, uint64_t version)
    {
        const auto& model = query.metadata.model;
        if (!version || version >= query.directory.wantedWeights(model))
            return std::chrono::nanoseconds(0);
        const auto age = query.bootNow - query.directory.replacementOf(model, version)->notBefore;
        if (age < staleWeightsGracePeriod)
            return std::chrono::nanoseconds(0);
        return initialStaleSurcharge
            + std::min<BootClock::duration>(age, query.replacedWeightsTtl) / staleSurchargeDivisor;
    }

    /// Whether weights of @p version may still answer, which ends some time after their replacement. A margin covers
    /// the time that a request waits in the engine's queue, which is longer if @p expectedDelay is.
    bool isVersionAllowed(
        const ChoiceQuery& query, uint64_t version, uint64_t newest, std::chrono::microseconds expectedDelay)
    {
        const auto replacement = query.directory.replacementOf(query.metadata.model, version);
        if (!replacement)
            return true;
        const auto replacedAt = replacement->isTimeKnown() ? replacement->notBefore : replacement->notAfter;
        if (query.bootNow - replacedAt + expectedDelay >= query.replacedWeightsTtl - directory::replacedWeightsMargin)
            return false;
        if (replacement->isTimeKnown())
            return true;
        // The time of a replacement before this instance started is unknown. Such weights may answer if another
        // instance confirms it, or for a short time, until a leader can have done so, if no engine runs newer ones.
        if (query.directory.isReplacedVersionConfirmed(query.metadata.model, version))
            return true;
        return version >= newest
            && query.bootNow - replacement->notAfter + expectedDelay < directory::unconfirmedWeightsPeriod;
    }

    /// The newest version that any engine of @p services runs, including engines that are not usable now.
    uint64_t newestWeights(const ChoiceQuery& query, const std::vector<std::string>& services)
    {
        uint64_t newest = 0;
        for (const auto& [id, target] : query.directory.targets()) {
            const auto& service = target->registration.service;
            if (std::ranges::find(services, service) != services.end() && query.routes.runsModels(service))
                newest = std::max(newest, target->weightsOf(query.metadata.model));
        }
        return newest;
    }

    bool isExcluded(const ChoiceQuery& query, const directory::Target& target)
    {
        const auto& id = target.registration.id;
        const auto lists = [&id](const auto& ids) { return std::ranges::find(ids, id) != ids.end(); };
        return lists(query.excluded) || (query.only && !lists(*query.only))
            || (query.origins && !mayStreamAt(*query.origins, query.softwareVersions, target));
    }

    void addCandidates(CandidateSet& set, const ChoiceQuery& query, const std::string& service, uint64_t newest)
    {
        const auto& model = query.metadata.model;
        const bool needsWeights = !model.empty() && query.routes.runsModels(service);
        const auto seed = rankSeed(query);
        for (auto& target : query.directory.targetsOf(service)) {
            const bool isUsable = target->isUsable(query.now) || (query.isLate && target->mayResumeLate(query.now));
            if (!isUsable || isExcluded(query, *target))
                continue;
            const auto version = needsWeights ? target->weightsOf(model) : 0;
            auto candidate = candidateOf(query, *target, seed);
            if (needsWeights && (!version || !isVersionAllowed(query, version, newest, candidate.delay)))
                continue;
            const auto index = indexOfVersion(set, query, version);
            candidate.surcharge = staleWeightsSurcharge(query, version);
            candidate.target = static_cast<uint32_t>(set.targets.size());
            set.candidates.push_back(candidate);
            set.isWithheld.push_back(query.gate.ask(target->registration, query.now) != backoff::Verdict::Open);
            set.versionIndexes.push_back(index);
            set.targets.push_back(std::move(target));
        }
    }

    /// Sets the estimated cached tokens of each candidate to the longest prefix found for it in the prefix index.
    void estimateCachedTokens(CandidateSet& set, const ChoiceQuery& query)
    {
        routing::PrefixHolder holders[routing::PrefixIndex::bucketSlots];
        for (size_t version = 0; version < set.prefixesByVersion.size(); ++version) {
            const auto& prefixes = set.prefixesByVersion[version];
            for (size_t i = prefixes.hashes.size(); i > 0; --i) {
                const auto count = query.prefixIndex.find(prefixes.hashes[i - 1], query.now, holders);
                for (size_t c = 0; c < set.candidates.size(); ++c) {
                    auto& candidate = set.candidates[c];
                    if (set.versionIndexes[c] != version || candidate.cachedTokens)
                        continue;
                    const auto& target = *set.targets[c];
                    const auto holder = std::find_if(holders, holders + count, [&](const auto& each) {
                        return each.target == shortTargetId(target) && each.incarnation == shortIncarnation(target);
                    });
                    if (holder == holders + count)
                        continue;
                    candidate.cachedTokens = prefixes.tokens[i - 1];
                    candidate.cachedAge = holder->age;
                }
            }
        }
    }

    /// Services of the route in order of preference: one selected at random by weight, then the others as fallback.
    std::vector<std::string> serviceOrder(const directory::Route& route, uint64_t random)
    {
        uint64_t total = 0;
        for (const auto& share : route.shares)
            total += share.weight;
        std::vector<std::string> order;
        uint64_t point = total ? random % total : 0;
        size_t first = 0;
        for (size_t i = 0; i < route.shares.size(); ++i) {
            if (point < route.shares[i].weight) {
                first = i;
                break;
            }
            point -= route.shares[i].weight;
        }
        for (size_t i = 0; i < route.shares.size(); ++i) {
            const auto& share = route.shares[(first + i) % route.shares.size()];
            if (share.weight)
                order.push_back(share.service);
        }
        return order;
    }

    /// Adds the targets of the first service of the route that has one that takes a request now, and those of the
    /// services before it, which take none.
    void addCandidates(CandidateSet& set, const ChoiceQuery& query)
    {
        const auto services = serviceOrder(query.route, query.random);
        const auto newest = newestWeights(query, services);
        for (const auto& service : services) {
            if (std::ranges::all_of(set.isWithheld, std::identity()))
                addCandidates(set, query, service, newest);
        }
    }

    const directory::CacheStore* findCacheStore(const directory::RouteTable& routes)
    {
        for (const auto& service : routes.services()) {
            if (service.cacheStore)
                return &*service.cacheStore;
        }
        return nullptr;
    }

    /// The nearest other engine that is estimated to hold the shared prefix; null if there is none.
    const directory::Target* findPrefixHolder(const CandidateSet& set, size_t chosen, uint32_t sharedTokens)
    {
        const directory::Target* holder = nullptr;
        const Candidate* best = nullptr;
        for (size_t c = 0; c < set.candidates.size(); ++c) {
            const auto& candidate = set.candidates[c];
            const bool isIneligible = c == chosen || set.versionIndexes[c] != set.versionIndexes[chosen];
            if (isIneligible || candidate.avoided || candidate.cachedTokens < sharedTokens)
                continue;
            if (!best || candidate.reach < best->reach) {
                best = &candidate;
                holder = set.targets[c].get();
            }
        }
        return holder;
    }

    void planCacheTransfers(TargetChoice& result, const CandidateSet& set, size_t chosen, const ChoiceQuery& query)
    {
        if (!result.sharedTokens || set.candidates[chosen].cachedTokens >= result.sharedTokens)
            return;
        if (const auto* holder = findPrefixHolder(set, chosen, result.sharedTokens)) {
            result.fetchCacheFrom = holder->registration.endpoint;
            return;
        }
        if (const auto* store = findCacheStore(query.routes)) {
            result.fetchCacheFrom = store->endpoint;
            result.saveCacheTo = store->endpoint;
        }
    }

}

std::optional<TargetChoice> chooseTarget(const routing::Policy& policy, const ChoiceQuery& query)
{
    CandidateSet set;
    addCandidates(set, query);
    estimateCachedTokens(set, query);
    std::vector<Candidate> sendable;
    for (size_t c = 0; c < set.candidates.size(); ++c) {
        if (!set.isWithheld[c])
            sendable.push_back(set.candidates[c]);
    }
    routing::RoutingRequest routingRequest;
    routingRequest.promptTokens = query.metadata.promptTokens;
    routingRequest.random = query.random;
    for (const auto& candidate : sendable)
        routingRequest.knownTokens = std::max(routingRequest.knownTokens, candidate.cachedTokens);
    for (const auto& prefixes : set.prefixesByVersion)
        routingRequest.sharedPrefixTokens = std::max(routingRequest.sharedPrefixTokens, prefixes.sharedTokens());
    const auto choice = routing::chooseTarget(policy, sendable, routingRequest);
    if (!choice)
        return std::nullopt;
    const auto& prefixes = set.prefixesByVersion[set.versionIndexes[choice->target]];
    TargetChoice result;
    result.target = set.targets[choice->target];
    result.policyChoice = *choice;
    result.candidates = sendable.size();
    result.withheld = set.candidates.size() - sendable.size();
    result.weightsVersion = prefixes.version;
    if (!result.weightsVersion)
        return result; // a plain service keeps no cache
    result.cacheSalt = prefixes.salt;
    result.prefixes = prefixes.hashes;
    result.sharedTokens = prefixes.sharedTokens();
    planCacheTransfers(result, set, choice->target, query);
    return result;
}

std::optional<NextSend> nextSend(const ChoiceQuery& query)
{
    const auto services = serviceOrder(query.route, query.random);
    const auto newest = newestWeights(query, services);
    const auto& model = query.metadata.model;
    std::optional<NextSend> earliest;
    for (const auto& service : services) {
        const bool needsWeights = !model.empty() && query.routes.runsModels(service);
        for (const auto& target : query.directory.targetsOf(service)) {
            const auto& registration = target->registration;
            const auto opensAt = query.gate.nextSendAt(registration, query.now);
            if (registration.isDraining || target->isReplaced || !opensAt || isExcluded(query, *target))
                continue;
            const auto version = target->weightsOf(model);
            const auto delay = routing::expectedDelay(*target->state, query.now);
            if (needsWeights && (!version || !isVersionAllowed(query, version, newest, delay)))
                continue;
            const NextSend next { std::max(*opensAt, target->refusingUntil), query.gate.ask(registration, query.now) };
            if (!earliest || next.at < earliest->at)
                earliest = next;
        }
    }
    return earliest;
}

bool isAwaitingWeights(const ChoiceQuery& query)
{
    const auto services = serviceOrder(query.route, query.random);
    const auto newest = newestWeights(query, services);
    return std::ranges::any_of(services, [&](const std::string& service) {
        return query.routes.runsModels(service)
            && std::ranges::any_of(query.directory.targetsOf(service), [&](const auto& target) {
                   const auto& registration = target->registration;
                   const bool isGone
                       = registration.isDraining || target->isReplaced || query.gate.isLeaving(registration);
                   const auto version = target->weightsOf(query.metadata.model);
                   return !isGone && !isExcluded(query, *target) && version
                       && !isVersionAllowed(query, version, newest, std::chrono::microseconds(0));
               });
    });
}

bool isVersionGone(const ChoiceQuery& query)
{
    if (!query.softwareVersions)
        return false;
    bool hasTargets = false;
    for (const auto& service : serviceOrder(query.route, query.random)) {
        for (const auto& target : query.directory.targetsOf(service)) {
            const bool isLeaving = target->registration.isDraining && query.now >= target->resumesUntil;
            if (isLeaving || target->isReplaced)
                continue;
            hasTargets = true;
            if (query.softwareVersions->contains(target->registration.softwareVersion))
                return false;
        }
    }
    return hasTargets;
}

bool isAwaitingVersion(const ChoiceQuery& query)
{
    if (!query.origins || query.softwareVersions)
        return false;
    const auto services = serviceOrder(query.route, query.random);
    return std::ranges::any_of(services, [&](const std::string& service) {
        return std::ranges::any_of(query.directory.targetsOf(service),
            [&](const auto& target) { return target->isUsable(query.now) && !query.origins->mayBeginAt(*target); });
    });
}

void applyStatement(backoff::SendGate& gate, const directory::Registration& target, const AnswerMetadata& answer,
    const std::string& source, Clock::time_point now)
{
    if (answer.targetId.empty() || answer.targetId == target.id)
        gate.onAnswer(target, { answer.isLeaving, answer.backoff, answer.hasInvalidBackoff }, source, now);
}

void rememberPrompt(routing::PrefixIndex& memory, const TargetChoice& choice, Clock::time_point now)
{
    const auto targetId = shortTargetId(*choice.target);
    const auto incarnation = shortIncarnation(*choice.target);
    for (const auto hash : choice.prefixes)
        memory.record(hash, targetId, incarnation, now);
}

}
