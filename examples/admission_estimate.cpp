// Estimates the tokens of a prompt from its size in bytes. Usage that engines reported for earlier
// prompts improves the estimate.

#include <iostream>

#include <egretmount/admission/token_estimate.h>

int main()
{
    using namespace egretmount;
    const ServiceId service("egret-llm");
    const TeamId team("review-north");
    admission::TokenEstimator estimator;
    std::cout << admission::estimateTokens(estimator, service, team, 40'000) << '\n';
    for (int i = 0; i < 16; ++i)
        admission::recordUsage(estimator, service, team, 40'000, 12'000);
    std::cout << admission::estimateTokens(estimator, service, team, 40'000) << '\n';
}
