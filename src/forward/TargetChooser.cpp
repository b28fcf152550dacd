#include "forward/TargetChooser.h"

#include <algorithm>

namespace dragonfly::forward {

using directory::TargetPointer;
using routing::Candidate;
using routing::Reach;

namespace {

    /// Organisations that are not isolated share their prefixes under this scope.
    constexpr std::string_view commonScope = "shared";
    /// Replaced weights answer as well as new ones for this time after the new ones were named.
    constexpr std::chrono::milliseconds freeStaleTime { 1500 };
    /// Then an answer by them is worth a fifth less, which is about as bad as this delay.
    constexpr std::chrono::milliseconds firstStaleSurcharge { 250 };
    /// The loss grows with the age of the new weights; a tenth of that age keeps step with it.
    constexpr int staleSurchargeDivisor = 10;

    uint32_t shortName(const directory::Target& target)
    {
        return routing::shortHash(fastHash(target.registration.id));
    }

    uint32_t shortLife(const directory::Target& target)
    {
        const auto& registration = target.registration;
        return routing::shortHash(
            fastHash(registration.endpoint.toString(), static_cast<uint64_t>(registration.startedUnixMs)));
    }

    std::string scopeOf(const ChoiceQuery& query)
    {
        const bool isIsolated = query.organisation && query.organisation->isIsolated;
        return isIsolated ? "organisation:" + query.organisation->name : std::string(commonScope);
    }

    Reach reachOf(const ChoiceQuery& query, const std::string& dataCentre)
    {
        if (dataCentre == query.place.dataCentre)
            return Reach::SameDataCentre;
        const auto region = query.regions.find(dataCentre);
        const bool sameRegion = region != query.regions.end() && region->second == query.place.region;
        return sameRegion ? Reach::SameRegion : Reach::OtherRegion;
    }

    /// The prompt's prefixes under one version of the weights.
    struct PromptPrefixes {
        uint64_t version = 0;
        std::string salt;
        std::vector<uint64_t> hashes; ///< shortest first
        std::vector<uint32_t> tokens; ///< length of each
        /// The longest prefix that is not the request's own.
        size_t sharedCount() const
        {
            return this->hashes.empty() ? 0 : this->hashes.size() - 1;
        }
        uint32_t sharedTokens() const
        {
            return this->sharedCount() ? this->tokens[this->sharedCount() - 1] : 0;
        }
    };

    PromptPrefixes prefixesOf(const ChoiceQuery& query, uint64_t version)
    {
        PromptPrefixes prefixes;
        prefixes.version = version;
        const auto scope = scopeOf(query);
        const auto weights = std::to_string(version);
        prefixes.salt = routing::cacheSalt(scope, query.description.model, weights);
        uint64_t hash = routing::scopeSeed(scope, query.description.model, weights);
        uint32_t tokens = 0;
        for (const auto& part : query.description.prompt) {
            hash = fastHash(part.id, hash);
            tokens += part.tokens;
            prefixes.hashes.push_back(hash);
            prefixes.tokens.push_back(tokens);
        }
        return prefixes;
    }

    struct Gathered {
        std::vector<TargetPointer> targets; ///< in the order of the candidates
        std::vector<Candidate> candidates;
        std::vector<size_t> prefixes; ///< of each candidate, into the list below
        std::vector<PromptPrefixes> versions;
    };

    size_t indexOfVersion(Gathered& gathered, const ChoiceQuery& query, uint64_t version)
    {
        for (size_t i = 0; i < gathered.versions.size(); ++i) {
            if (gathered.versions[i].version == version)
                return i;
        }
        gathered.versions.push_back(prefixesOf(query, version));
        return gathered.versions.size() - 1;
    }

    /// Seed of the ranks: the shared prefix whatever the weights, so that its home outlasts them. Prompts
    /// without one are ranked at random.
    uint64_t rankSeed(const ChoiceQuery& query)
    {
        const auto& prompt = query.description.prompt;
        if (prompt.size() < 2)
            return query.random;
        uint64_t hash = 0;
        for (size_t i = 0; i + 1 < prompt.size(); ++i)
            hash = fastHash(prompt[i].id, hash);
        return hash;
    }

    uint64_t rankOf(uint64_t seed, uint32_t name)
    {
        const uint64_t pair[] = { seed, name };
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
        candidate.rank = rankOf(seed, shortName(target));
        candidate.familyRank = candidate.rank;
        return candidate;
    }

    /// What an answer by replaced weights is worth less, expressed as time: nothing at first, then more and more.
    std::chrono::nanoseconds staleSurcharge(const ChoiceQuery& query, uint64_t version)
    {
        const auto& model = query.description.model;
        if (!version || version >= query.directory.wantedWeights(model))
            return std::chrono::nanoseconds(0);
        const auto age = query.now - *query.directory.replacedAt(model, version);
        if (age < freeStaleTime)
            return std::chrono::nanoseconds(0);
        return firstStaleSurcharge + std::min<Clock::duration>(age, query.weightsTime) / staleSurchargeDivisor;
    }

    /// Whether weights of @p version may still answer: not when they were replaced too long ago. A request may
    /// wait at its engine before it begins.
    bool mayAnswer(const ChoiceQuery& query, uint64_t version, uint64_t newest)
    {
        const auto replacedAt = query.directory.replacedAt(query.description.model, version);
        if (!replacedAt)
            return true;
        const bool isTimeKnown = *replacedAt != Clock::time_point();
        if (isTimeKnown)
            return query.now - *replacedAt < query.weightsTime - directory::weightsMargin;
        // What was replaced before this instance started may answer only where no engine runs newer weights, or
        // where another instance vouches for its age.
        return version >= newest || query.directory.isVouchedFor(query.description.model, version);
    }

    /// The newest weights that any engine runs, even if it cannot be asked now.
    uint64_t newestWeights(const ChoiceQuery& query, const std::vector<std::string>& services)
    {
        uint64_t newest = 0;
        for (const auto& [id, target] : query.directory.targets()) {
            const auto& service = target->registration.service;
            if (std::find(services.begin(), services.end(), service) != services.end())
                newest = std::max(newest, target->weightsOf(query.description.model));
        }
        return newest;
    }

    bool isExcluded(const ChoiceQuery& query, const directory::Target& target)
    {
        const auto& tried = query.excluded;
        return std::find(tried.begin(), tried.end(), target.registration.id) != tried.end();
    }

    /// Whether requests that name a model need an engine of @p service that runs it. A plain service takes
    /// them like any other request.
    bool runsModels(const ChoiceQuery& query, const std::string& service)
    {
        const auto* found = query.routes.findService(service);
        return !found || found->engines;
    }

    void gatherFrom(Gathered& gathered, const ChoiceQuery& query, const std::string& service, uint64_t newest)
    {
        const auto& model = query.description.model;
        const bool needsWeights = !model.empty() && runsModels(query, service);
        const auto seed = rankSeed(query);
        for (auto& target : query.directory.targetsOf(service)) {
            if (!target->isUsable(query.now) || isExcluded(query, *target))
                continue;
            const auto version = needsWeights ? target->weightsOf(model) : 0;
            if (needsWeights && (!version || !mayAnswer(query, version, newest)))
                continue;
            const auto index = indexOfVersion(gathered, query, version);
            auto candidate = candidateOf(query, *target, seed);
            candidate.surcharge = staleSurcharge(query, version);
            candidate.target = static_cast<uint32_t>(gathered.targets.size());
            gathered.candidates.push_back(candidate);
            gathered.prefixes.push_back(index);
            gathered.targets.push_back(std::move(target));
        }
    }

    /// Credits each candidate with the longest prefix that it is believed to hold.
    void creditPrefixes(Gathered& gathered, const ChoiceQuery& query)
    {
        routing::PrefixHolder holders[routing::PrefixMemory::bucketSlots];
        for (size_t version = 0; version < gathered.versions.size(); ++version) {
            const auto& prefixes = gathered.versions[version];
            for (size_t i = prefixes.hashes.size(); i > 0; --i) {
                const auto count = query.memory.find(prefixes.hashes[i - 1], query.now, holders);
                for (size_t c = 0; c < gathered.candidates.size(); ++c) {
                    auto& candidate = gathered.candidates[c];
                    if (gathered.prefixes[c] != version || candidate.cachedTokens)
                        continue;
                    const auto& target = *gathered.targets[c];
                    const auto holder = std::find_if(holders, holders + count, [&](const auto& each) {
                        return each.target == shortName(target) && each.incarnation == shortLife(target);
                    });
                    if (holder == holders + count)
                        continue;
                    candidate.cachedTokens = prefixes.tokens[i - 1];
                    candidate.cachedAge = holder->age;
                }
            }
        }
    }

    /// Services of the route in the order in which they are asked: one by weight, then the others.
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

    const directory::CacheStore* findCacheStore(const directory::RouteTable& routes)
    {
        for (const auto& service : routes.services()) {
            if (service.cacheStore)
                return &*service.cacheStore;
        }
        return nullptr;
    }

    /// The nearest other engine that is believed to hold the shared prefix.
    const directory::Target* findHolder(const Gathered& gathered, size_t chosen, uint32_t sharedTokens)
    {
        const directory::Target* holder = nullptr;
        const Candidate* best = nullptr;
        for (size_t c = 0; c < gathered.candidates.size(); ++c) {
            const auto& candidate = gathered.candidates[c];
            const bool isSame = c == chosen || gathered.prefixes[c] != gathered.prefixes[chosen];
            if (isSame || candidate.avoided || candidate.cachedTokens < sharedTokens)
                continue;
            if (!best || candidate.reach < best->reach) {
                best = &candidate;
                holder = gathered.targets[c].get();
            }
        }
        return holder;
    }

    void planCacheTransfers(TargetChoice& result, const Gathered& gathered, size_t chosen, const ChoiceQuery& query)
    {
        if (!result.sharedTokens || gathered.candidates[chosen].cachedTokens >= result.sharedTokens)
            return;
        if (const auto* holder = findHolder(gathered, chosen, result.sharedTokens)) {
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
    Gathered gathered;
    const auto services = serviceOrder(query.route, query.random);
    const auto newest = newestWeights(query, services);
    for (const auto& service : services) {
        if (gathered.candidates.empty())
            gatherFrom(gathered, query, service, newest);
    }
    creditPrefixes(gathered, query);
    routing::Question question;
    question.promptTokens = query.description.promptTokens;
    question.random = query.random;
    for (const auto& candidate : gathered.candidates)
        question.knownTokens = std::max(question.knownTokens, candidate.cachedTokens);
    for (const auto& prefixes : gathered.versions)
        question.homeTokens = std::max(question.homeTokens, prefixes.sharedTokens());
    const auto choice = routing::chooseTarget(policy, gathered.candidates, question);
    if (!choice)
        return std::nullopt;
    const auto& prefixes = gathered.versions[gathered.prefixes[choice->target]];
    TargetChoice result;
    result.target = gathered.targets[choice->target];
    result.choice = *choice;
    result.candidates = gathered.candidates.size();
    result.weightsVersion = prefixes.version;
    if (!result.weightsVersion)
        return result; // a plain service keeps no cache
    result.cacheSalt = prefixes.salt;
    result.prefixes = prefixes.hashes;
    result.sharedTokens = prefixes.sharedTokens();
    planCacheTransfers(result, gathered, choice->target, query);
    return result;
}

void rememberPrompt(routing::PrefixMemory& memory, const TargetChoice& choice, Clock::time_point now)
{
    const auto name = shortName(*choice.target);
    const auto life = shortLife(*choice.target);
    for (const auto hash : choice.prefixes)
        memory.remember(hash, name, life, now);
}

}
